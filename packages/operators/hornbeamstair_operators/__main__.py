"""Entry point of `python -m hornbeamstair_operators`."""

from hornbeamstair_operators.command_line.main import main

main()
