package org.galenapost.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import org.galenapost.core.directory.DirectoryKey;
import org.galenapost.core.directory.DirectoryQuery;
import org.galenapost.core.dispatch.SendPermitMessage;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.origin.StreamOrigin;
import org.galenapost.core.origin.StreamOriginMessage;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.quarantine.PartProof;

/** A connection between daemons ends in the middle of a message. */
class CutMessagesProperties {

  @Property(tries = 500)
  void deliversOnlyWholeMessagesWhenConnectionEnds(
      @ForAll("messages") PeerMessage whole,
      @ForAll("messages") PeerMessage cut,
      @ForAll @DoubleRange(min = 0, max = 1, maxIncluded = false) double share)
      throws JsonProcessingException {
    Connection connection = new Connection();
    connection.receive(frame(whole));
    connection.receive(startOf(frame(cut), share));

    connection.channel.close();

    assertThat(connection.messages).containsExactly(whole);
  }

  @Provide
  Arbitrary<PeerMessage> messages() {
    return Arbitraries.of(
        new DirectoryQuery(5, new DirectoryKey("w1", "g-1")),
        new SendPermitMessage.Request(3, new InstanceKey("i-9f3c01ab77", 1_796_355_365_256L), 2.3),
        new SendPermitMessage.Reply(3, false, 410),
        new StreamOriginMessage.Announcement("a1", new StreamOrigin("pool", "v1.1"), 25_000),
        new PartProof(Set.of("5c1e")));
  }

  private static ByteBuf startOf(ByteBuf frame, double share) {
    return frame.readSlice((int) (share * frame.readableBytes()));
  }

  private static ByteBuf frame(PeerMessage message) throws JsonProcessingException {
    byte[] content = PeerCodec.write(message);
    return Unpooled.buffer().writeInt(content.length).writeBytes(content);
  }

  /** The receiving end of a connection whose peer is authenticated. */
  private static final class Connection {

    private final List<PeerMessage> messages = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel();

    Connection() {
      HandshakeAuthenticator authenticator = new HandshakeAuthenticator("a secret of sixteen");
      PeerPipeline.build(
          channel.pipeline(),
          new TrafficMeter(),
          new HandshakeHandler(
              authenticator,
              HandshakeAuthenticator.Role.LISTENER,
              new Handshake.Challenge("d1", "127.0.0.1", 1, authenticator.newChallenge()),
              peer -> {}),
          messages::add);
      channel.pipeline().remove(HandshakeHandler.class);
    }

    void receive(ByteBuf bytes) {
      if (channel.isOpen()) {
        channel.writeInbound(bytes);
      }
    }
  }
}
