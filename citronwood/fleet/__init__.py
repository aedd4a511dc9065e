"""The fleet: membership, placement of roles and assembly of a VM's process."""
