"""Run the daemon as a module."""

from hornbeamstair_daemon.main import main

main()
