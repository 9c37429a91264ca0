"""The wire of tools/soak: lines of bytes, fields with unusual bytes, and servers that send an answer again.

A line ends with CR LF, and every other byte belongs to a field. Texts are str with one character per byte (Latin-1).
"""
import asyncio
import random

LINE_END = b"\r\n"
MAX_LINE_BYTES = 2 << 20  # Of asyncio's readers; a message has at most 1 MiB.
ODD = ["\n", "\r", "\n\r", "\0", "\t", "\x0b\x0c\x1c\x85", "  ", "\xa0", "\xff\xfe\x80", "\xc3\xa4", "'", '" = "', "=", "\\", "%s",
       "\nQUERY x9 WRITE 9 smuggled", "QUERY - ROLLBACK\n", "AFTER 1.1 READ 1", "\nROW x", "COMPLETE -", "\nCOMPLETE 1.forged\nREADY I 1.1\n",
       "READY T 1.1", "\rERROR BUSY x\rREADY I -\r"]
SHAPES = ["shapeA", "shapeB", "shapeA\0x", "shapeA\0y", "shape A", "shape  A", "shapeA\n", "shapeA\r", "\nREADY I -", "READ\tx", "\xff", "WRITE x"]


def encode(text):
    return text.encode("latin-1") + LINE_END


async def read_line(reader):
    try:
        return (await reader.readuntil(LINE_END))[:-len(LINE_END)].decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise ConnectionError from error


class Texts:
    """Draws fields; half of them consist of the plain text alone."""

    def __init__(self, seed):
        self.random = random.Random(seed)

    def text(self, plain, share=0.5):
        """The last field of a line."""
        if self.random.random() >= share:
            return plain
        parts = [plain] + [self.random.choice(ODD) for _ in range(self.random.randint(1, 3))]
        self.random.shuffle(parts)
        text = "".join(parts)
        while "\r\n" in text:
            text = text.replace("\r\n", "\n")
        return text

    def word(self, plain, share=0.5):
        """A field that is followed by others, which holds no blank."""
        return self.text(plain, share).replace(" ", "_")


class Repeats:
    """A series of answers that a server sends again: all of it at once and later, or cut off first and then whole."""

    KINDS = ["greeting", "own", "read", "write", "commit", "refusal"]

    def __init__(self, draw):
        self.random = random.Random(draw.getrandbits(32))
        self.kinds = self.KINDS if draw.random() < 0.3 else draw.sample(self.KINDS, draw.randint(1, 3))
        self.share, self.delays_s = draw.choice([1 / 30, 0.1, 0.3, 1.0]), draw.choice([(0, 0), (0, 0.1), (0.02, 0.02), (0.002, 0.02), (0.2, 3)])
        self.is_cut, self.busy_share = draw.random() < 0.25, draw.choice([0.0, 0.0, 0.1, 0.3])

    def __str__(self):
        return f"{'cut' if self.is_cut else 'twice'} {self.share:.2f} of {','.join(self.kinds)} after {self.delays_s[0]} to {self.delays_s[1]} s, {self.busy_share} busy"

    def refuses(self):
        return self.random.random() < self.busy_share

    def choose_delay(self, kind):
        """The time until the answer is sent again; None: it is not."""
        if kind not in self.kinds or self.random.random() >= self.share:
            return None
        return self.random.uniform(*self.delays_s)


class Operation:
    """A statement, or a transaction, of a caller."""

    def __init__(self, is_transaction):
        self.is_transaction, self.server_transaction = is_transaction, None


class Asked:
    """A statement as its caller has sent it, with what has been acknowledged to the caller before."""

    def __init__(self, text, operation, session):
        self.text, self.operation, self.vm, self.values = text, operation, session.vm, dict(session.values)
        word, _, rest = text.partition(" ")
        name, _, self.arguments = rest.partition(" ")
        self.prepared = session.prepared.get(name) if word == "EXECUTE" else None


class Run:
    """A statement that a server has run, and the answer that it has given. The log at that time is what lacks nothing later."""

    def __init__(self, number, rows, server, transaction):
        self.number, self.rows, self.transaction = number, rows, transaction
        self.log, self.log_length = server.log, len(server.log)

    def seen_writes(self):
        return set(write for _, write in self.log[:self.log_length])
