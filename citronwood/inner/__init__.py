"""Protocol between VMs: messages, calls and connections."""
