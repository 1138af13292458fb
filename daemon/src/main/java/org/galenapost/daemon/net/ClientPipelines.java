package org.galenapost.daemon.net;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;

/** Sets up the connections of an HTTP client library like those of the daemon's own client. */
public final class ClientPipelines {

  private ClientPipelines() {}

  /**
   * Replaces the library's codec by {@link StrictClientCodec}, with the same limits, and adds a
   * {@link BrokenConnectionGuard} and a {@link ResponseEndDelay}.
   */
  public static void makeStrict(Channel channel) {
    String codec = channel.pipeline().context(HttpClientCodec.class).name();
    channel.pipeline().replace(codec, codec, new StrictClientCodec(new HttpDecoderConfig()));
    BrokenConnectionGuard.addTo(channel);
    String guard = channel.pipeline().context(BrokenConnectionGuard.class).name();
    channel.pipeline().addAfter(guard, "response-end-delay", new ResponseEndDelay());
  }
}
