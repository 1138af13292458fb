"""A proxy that stands for the link between a client and the gateway: segments of 1,460 bytes, as on an
Ethernet, and a number of bytes a second from the gateway to the client. Usage: link.py TARGET_PORT RATE"""
import socket
import sys
import threading
import time

TARGET = ("127.0.0.1", int(sys.argv[1]))
RATE = int(sys.argv[2])


def forward(client):
    gateway = socket.socket()
    gateway.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    gateway.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    gateway.connect(TARGET)

    def upwards():
        try:
            while True:
                data = client.recv(65536)
                if not data:
                    break
                gateway.sendall(data)
            gateway.shutdown(socket.SHUT_WR)
        except OSError:
            gateway.close()

    threading.Thread(target=upwards, daemon=True).start()
    start = None
    passed = 0
    try:
        while True:
            data = gateway.recv(8192)
            if not data:
                break
            start = start or time.monotonic()
            client.sendall(data)
            passed += len(data)
            time.sleep(max(0.0, passed / RATE - (time.monotonic() - start)))
    except OSError as error:
        print("link:", error, flush=True)
    for end in (client, gateway):
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        end.close()


listener = socket.socket()
listener.bind(("127.0.0.1", 0))
listener.listen(64)
print(listener.getsockname()[1], flush=True)
while True:
    connection, _ = listener.accept()
    threading.Thread(target=forward, args=(connection,), daemon=True).start()
