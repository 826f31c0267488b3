"""Endless answers that a faulty backend server may send."""

IN_CHUNKS = 'Transfer-Encoding: chunked'


def head(*fields, status=200):
    """Return a head, which is complete only if the last field is ''."""
    return '\r\n'.join((f'HTTP/1.1 {status} X', *fields)).encode() + b'\r\n'


def shapes(*fields):
    """Return rows of a name, the first bytes and the bytes to repeat.

    :param fields: header fields of each head.
    """
    unfinished_head = head(*fields)
    chunked = head(*fields, IN_CHUNKS, '')
    return (
        ('status line', b'HTTP/1.1 200 ', b'x'),
        ('no answer at all', b'', b'\x00\xff'),
        ('no answer, in lines', b'', b'x\r\n'),
        ('blank lines', b'', b'\r\n'),
        ('header line', unfinished_head + b'X: ', b'x'),
        ('header lines', unfinished_head, b'X: y\r\n'),
        ('folded header line', unfinished_head + b'X: y\r\n', b' z\r\n'),
        ('interim answers', b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        ('early hints', b'', b'HTTP/1.1 103 X\r\nLink: a\r\n\r\n'),
        ('body until the close', unfinished_head + b'\r\n', b'x'),
        (
            'body of a huge length',
            head(*fields, 'Content-Length: 1000000000000000', ''),
            b'x',
        ),
        ('long chunks', chunked, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
        ('chunks of eight', chunked, b'8\r\nabcdefgh\r\n'),
        ('short chunks', chunked, b'1\r\nx\r\n'),
        ('one chunk', chunked + b'ffffffffffff\r\n', b'x'),
        ('chunk size', chunked, b'0'),
        ('chunk extension', chunked + b'1;x=', b'x'),
        (
            'extensions of short chunks',
            chunked,
            b'1;' + b'x' * 999 + b'\r\nx\r\n',
        ),
        ('trailer line', chunked + b'0\r\nX: ', b'x'),
        ('trailer lines', chunked + b'0\r\n', b'X: y\r\n'),
        ('failure', head(*fields, '', status=500), b'x'),
    )
