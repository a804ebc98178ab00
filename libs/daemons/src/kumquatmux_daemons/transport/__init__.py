"""Message links between the processes of the system."""
