"""Backend servers: connections, database groups and the gateway role."""
