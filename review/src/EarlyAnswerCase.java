import java.io.IOException;
import java.util.List;

/**
 * Servers answer long requests early and without a length. One of two servers breaks off one in twenty of
 * its answers with a reset.
 */
final class EarlyAnswerCase {

  private static final int REQUESTS = 240;
  private static final int SPOILED_EVERY = 20;
  private static final int FIRST_SPOILED = 10;
  private static final int BODY_BYTES = 4_000_000;
  private static final int ANSWER_BYTES = 100_000;
  private static final long DEADLINE_MS = 20_000;

  private EarlyAnswerCase() {}

  public static void main(String[] args) {
    Rig.run(args, EarlyAnswerCase::isBroken);
  }

  private static boolean isBroken(Rig rig) throws IOException {
    for (int i = 1; i <= 2; i++) {
      rig.server(
            "i-" + i,
            "app",
            (self, request, socket, in, out) -> {
              int number = self.runs.incrementAndGet();
              // Answers before the body is read; the answer ends with its channel.
              Rig.skip(in, 10_000);
              out.write(Rig.bytes(Rig.okHead(request, "Content-Type: text/plain\r\nConnection: close\r\n")));
              out.write(new byte[ANSWER_BYTES / 2]);
              out.flush();
              Rig.sleep(100);
              if (rig.isTroubled && self.id.equals("i-1") && number % SPOILED_EVERY == FIRST_SPOILED) {
                rig.note("server i-1 is reset after " + ANSWER_BYTES / 2 + " of " + ANSWER_BYTES
                    + " bytes of its answer to " + request.get("X-Attempt-Id"));
                socket.setSoLinger(true, 0);
                socket.close();
                return false;
              }
              Rig.skip(in, request.length() - 10_000);
              out.write(new byte[ANSWER_BYTES / 2]);
              out.flush();
              return false;
            })
          .register();
    }
    rig.store.put(
        "config",
        "main",
        Rig.config(
            1, Rig.route("uploads", "/uploads/", "unsafe", "app", DEADLINE_MS, false), Rig.service("app")));
    Rig.Gateway gateway = rig.gateway("front-1");
    gateway.start(List.of());
    gateway.awaitReady();
    Rig.sleep(1_500);
    int wrong = 0;
    int complete = 0;
    for (int i = 1; i <= REQUESTS; i++) {
      String id = "request-" + i;
      try (Rig.Client client = new Rig.Client(gateway.port)) {
        client.send(
            Rig.Client.head("POST", "/uploads/1", id, DEADLINE_MS, "Content-Length: " + BODY_BYTES + "\r\n"));
        client.out.write(new byte[BODY_BYTES]);
        client.out.flush();
        Rig.Head head = Rig.readHead(client.in);
        if (head == null) {
          rig.note(id + " got no answer");
          continue;
        }
        long read = 0;
        try {
          Rig.skip(client.in, Math.max(0, head.length()));
          read = head.length();
        } catch (IOException e) {
          rig.note(id + ": the answer ends early: " + e);
        }
        boolean isSuccess = head.first.contains(" 200 ");
        boolean isWrong = isSuccess && read == head.length() && read != ANSWER_BYTES;
        boolean isPlain = isSuccess && !isWrong;
        complete += isPlain ? 1 : 0;
        if (isPlain) {
          continue;
        }
        rig.note(id + " gets " + head.first + ", seal '" + head.get("X-Response-Seal") + "', "
            + read + " bytes of the length " + head.length()
            + (isWrong ? ": a success that looks complete and isn't the whole body" : ""));
        wrong += isWrong ? 1 : 0;
      }
    }
    rig.note(complete + " answers whole, " + wrong + " short and looking complete, of " + REQUESTS);
    if (!rig.isTroubled && complete < REQUESTS) {
      throw new IOException("not all answers were whole without the disruption");
    }
    return wrong > 0;
  }
}
