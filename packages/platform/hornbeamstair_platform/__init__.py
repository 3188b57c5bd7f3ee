"""The platform that hornbeamstair manages."""
