"""Admission of requests whose key has an overloaded holder."""
