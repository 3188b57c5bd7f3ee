"""Run the command line as a module."""

from hornbeamstair_operators.command_line.main import main

main()
