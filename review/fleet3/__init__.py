"""Stand-ins and helpers of the cases 11 to 15; the standard library only."""
