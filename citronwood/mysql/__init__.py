"""Client side of the proxy: MySQL protocol and client sessions."""
