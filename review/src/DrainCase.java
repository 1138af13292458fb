import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** SIGTERM while answers that servers have given are on their way to clients. */
final class DrainCase {

  private static final int CLIENTS = 3;
  private static final int ANSWER_BYTES = 4_000_000;
  private static final int BYTES_PER_SECOND = 600_000;
  private static final long DEADLINE_MS = 20_000;

  private DrainCase() {}

  public static void main(String[] args) {
    Rig.run(args, DrainCase::isBroken);
  }

  private static boolean isBroken(Rig rig) throws IOException {
    Rig.Server server =
        rig.server(
            "i-1",
            "app",
            (self, request, socket, in, out) -> {
              self.runs.incrementAndGet();
              Rig.skip(in, Math.max(0, request.length()));
              out.write(Rig.bytes(Rig.okHead(request, "Content-Length: " + ANSWER_BYTES + "\r\n")));
              out.write(new byte[ANSWER_BYTES]);
              out.flush();
              rig.note("server i-1 has run and answered " + request.get("X-Attempt-Id"));
              return true;
            });
    rig.store.put(
        "config",
        "main",
        Rig.config(
            1, Rig.route("reports", "/reports/", "unsafe", "app", DEADLINE_MS, false), Rig.service("app")));
    server.register();
    Rig.Gateway gateway = rig.gateway("front-1");
    gateway.start(List.of());
    gateway.awaitReady();
    Rig.sleep(1_500);
    AtomicInteger complete = new AtomicInteger();
    AtomicInteger broken = new AtomicInteger();
    int link = rig.link(gateway, BYTES_PER_SECOND);
    List<Thread> clients = new ArrayList<>();
    for (int i = 1; i <= CLIENTS; i++) {
      String id = "request-" + i;
      clients.add(Rig.start(id, () -> call(rig, link, id, complete, broken)));
    }
    Rig.sleep(300);
    if (rig.isTroubled) {
      gateway.signal("TERM");
    }
    for (Thread client : clients) {
      join(client);
    }
    if (rig.isTroubled) {
      rig.note("the gateway has ended by itself: " + gateway.waitForEnd(10_000));
    }
    rig.note(complete + " answers complete, " + broken + " broken off, " + server.runs + " runs");
    if (complete.get() + broken.get() != CLIENTS || server.runs.get() != CLIENTS) {
      throw new IOException("not every request reached the server");
    }
    return broken.get() > 0;
  }

  private static void join(Thread thread) {
    try {
      thread.join(40_000);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends a request and reads its answer. */
  private static void call(Rig rig, int port, String id, AtomicInteger complete, AtomicInteger broken)
      throws IOException {
    try (Rig.Client client = new Rig.Client(port)) {
      client.send(Rig.Client.head("POST", "/reports/1", id, DEADLINE_MS, "Content-Length: 0\r\n"));
      rig.note(id + " sent");
      Rig.Head head = Rig.readHead(client.in);
      if (head == null) {
        rig.note(id + " got no answer");
        broken.incrementAndGet();
        return;
      }
      rig.note(id + " gets " + head.first + ", " + head.length() + " bytes");
      long read = 0;
      byte[] buffer = new byte[16_384];
      try {
        while (read < head.length()) {
          int count = client.in.read(buffer, 0, (int) Math.min(buffer.length, head.length() - read));
          if (count < 0) {
            break;
          }
          read += count;
        }
      } catch (IOException e) {
        rig.note(id + ": " + e.getMessage());
      }
      boolean isComplete = read == head.length() && head.first.contains(" 200 ");
      rig.note(id + " has " + read + " of " + head.length() + " bytes" + (isComplete ? "" : ": broken off"));
      (isComplete ? complete : broken).incrementAndGet();
    }
  }
}
