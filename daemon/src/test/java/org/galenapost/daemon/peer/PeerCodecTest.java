package org.galenapost.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.galenapost.core.directory.DirectoryKey;
import org.galenapost.core.directory.DirectoryQuery;
import org.junit.jupiter.api.Test;

/** Messages that another build of the daemon may write in another way. */
class PeerCodecTest {

  private static final ObjectMapper MAPPER = PeerMessageTypes.newMapper();
  private static final DirectoryQuery QUERY = new DirectoryQuery(5, new DirectoryKey("w1", "g-1"));

  private final EmbeddedChannel connection = new EmbeddedChannel(new PeerCodec());

  /** One message that does not fit must not end the connection that brings the others. */
  @Test
  void receivesMessagesBesideOneWhoseFieldsDoNotFit() throws IOException {
    ObjectNode unfit = (ObjectNode) MAPPER.readTree(PeerCodec.write(QUERY));
    unfit.put("key", "text");

    connection.writeInbound(Unpooled.wrappedBuffer(MAPPER.writeValueAsBytes(unfit)));
    connection.writeInbound(Unpooled.wrappedBuffer(PeerCodec.write(QUERY)));

    assertThat(connection.inboundMessages()).containsExactly(QUERY);
  }

  @Test
  void receivesMessagesBesideOneOfAnUnknownType() throws IOException {
    ObjectNode unknown = (ObjectNode) MAPPER.readTree(PeerCodec.write(QUERY));
    unknown.put("type", "of-a-later-build");

    connection.writeInbound(Unpooled.wrappedBuffer(MAPPER.writeValueAsBytes(unknown)));
    connection.writeInbound(Unpooled.wrappedBuffer(PeerCodec.write(QUERY)));

    assertThat(connection.inboundMessages()).containsExactly(QUERY);
  }
}
