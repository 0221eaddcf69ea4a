"""Messages, configuration types and error kinds shared by all components."""
