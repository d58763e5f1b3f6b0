"""Forward client requests to upstream replicas by route."""
