"""Fleet-wide limits of client accounts: rate and burst."""
