"""A fault in a bundle's text."""


class BundleFault(ValueError):
    """One fault, with its place and what would mend it.

    :param line: line of the text, from 1.
    :param key: the key, with its table; '' for the text as a whole.
    """

    def __init__(self, *, line: int, key: str, found: str, fix: str):
        place = f'line {line}: {key}' if key else f'line {line}'
        super().__init__(f'{place}: found {found}; {fix}')
        self.line = line
        self.key = key
        self.found = found
        self.fix = fix
