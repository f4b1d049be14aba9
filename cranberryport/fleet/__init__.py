"""Instance list, operations on instances, and jobs on workers of the daemon."""
