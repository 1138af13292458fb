package org.galenapost.daemon.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.InvalidTypeIdException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.daemon.log.EventLog;

/**
 * Decodes frames into messages and encodes messages into frames. A message of an unknown type, or
 * whose fields do not fit its type, is skipped, so that daemons of different versions can run in
 * one fleet.
 */
final class PeerCodec extends MessageToMessageCodec<ByteBuf, PeerMessage> {

  private static final EventLog LOG = EventLog.of(PeerCodec.class);
  private static final ObjectMapper MAPPER = PeerMessageTypes.newMapper();

  @Override
  protected void encode(ChannelHandlerContext context, PeerMessage message, List<Object> out)
      throws JsonProcessingException {
    out.add(Unpooled.wrappedBuffer(write(message)));
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out)
      throws IOException {
    try (InputStream bytes = new ByteBufInputStream(frame)) {
      out.add(MAPPER.readValue(bytes, PeerMessage.class));
    } catch (InvalidTypeIdException e) {
      LOG.debug("peer_message_unknown").with("type", e.getTypeId()).write();
    } catch (JsonMappingException e) {
      LOG.info("peer_message_unreadable")
          .with("address", context.channel().remoteAddress())
          .with("fault", e.getOriginalMessage())
          .write();
    }
  }

  static byte[] write(PeerMessage message) throws JsonProcessingException {
    return MAPPER.writerFor(PeerMessage.class).writeValueAsBytes(message);
  }

  static PeerMessage read(byte[] bytes) throws IOException {
    return MAPPER.readValue(bytes, PeerMessage.class);
  }
}
