"""Pure decision logic of request forwarding and of the control plane."""
