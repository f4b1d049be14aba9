"""The daemon's instances, their moves and upkeep, and jobs on workers."""
