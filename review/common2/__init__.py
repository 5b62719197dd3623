"""Stand-ins and helpers of the cases from 6 on; standard library only."""
