"""The daemon hornbeamstaird."""
