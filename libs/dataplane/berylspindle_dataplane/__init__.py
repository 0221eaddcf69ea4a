"""Request path of a VM: entry, scatter-gather, owner and execute claims."""
