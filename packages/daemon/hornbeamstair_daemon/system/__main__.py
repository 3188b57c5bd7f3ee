"""Run a process of the system as a module."""

from hornbeamstair_daemon.system.main import main

main()
