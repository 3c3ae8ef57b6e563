"""A worker of its own process: it answers a long upload early, without a length, and reads on.

Arguments: address, port, id. Prints `PART` once the first half of an answer is sent, `LATE` when little of the upload is
missing, `WHOLE` at the end of the answer.
"""
import os
import socket
import sys
import threading

HOST, PORT, IDENT = sys.argv[1], int(sys.argv[2]), sys.argv[3]
WHOLE = b"".join(b"line %03d of the answer\n" % n for n in range(40))
EARLY = 200_000  # bytes of the upload after which the answer begins
LATE = int(os.environ.get("LATE", 50_000))  # bytes of the upload that are missing at `LATE`


def serve(connection):
    with connection:
        try:
            answer_one(connection)
        except (OSError, KeyError, ValueError) as e:
            print(f"REFUSED {type(e).__name__}", flush=True)


def answer_one(connection):
    stream = connection.makefile("rb", buffering=0)
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(4096)
        if not part:
            return
        data += part
    head, rest = data.split(b"\r\n\r\n", 1)
    headers = dict(line.split(": ", 1) for line in head.decode().lower().split("\r\n")[1:])
    if head.split()[1].decode() == "/healthz":
        connection.sendall(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {IDENT}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
        return
    ident, length = headers["x-attempt-id"], int(headers["content-length"])
    if headers.get("x-expect-instance", IDENT) != IDENT:
        connection.sendall(b"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        return
    print(f"RUN {ident}", flush=True)
    read, is_begun, is_late = len(rest), False, False
    while read < length:
        if not is_begun and read >= min(EARLY, length // 2):
            answer = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {ident}\r\nX-Server-Stamp: s.{ident}\r\nConnection: close\r\n\r\n"
            connection.sendall(answer.encode() + WHOLE[:len(WHOLE) // 2])
            is_begun = True
            print("PART", flush=True)
        if not is_late and length - read <= LATE:
            is_late = True
            print(f"LATE {length - read}", flush=True)
        part = stream.read(65536)
        if not part:
            return
        read += len(part)
    connection.sendall(WHOLE[len(WHOLE) // 2:])
    connection.shutdown(socket.SHUT_WR)
    print("WHOLE", flush=True)


listener = socket.create_server((HOST, PORT))
print("READY", flush=True)
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
