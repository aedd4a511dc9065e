"""Protocol between the VMs."""
