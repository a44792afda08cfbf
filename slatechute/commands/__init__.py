"""Commands of the slatechute program."""
