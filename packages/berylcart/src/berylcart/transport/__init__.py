"""Connect the ports to sockets."""
