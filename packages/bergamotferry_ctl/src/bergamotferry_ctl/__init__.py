"""The operator tool of bergamotferry."""
