"""The exchange of service load between hosts and control hosts, in direct mode."""
