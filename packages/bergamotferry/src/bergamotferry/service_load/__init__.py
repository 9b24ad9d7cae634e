"""The load of services, as hosts of a deployment in direct mode share it."""
