package org.galenapost.daemon.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.peer.HandshakeAuthenticator.Role;

/**
 * Authenticates the peer of a new connection. It closes the connection if the peer does not prove
 * in time that it knows the peer secret, and removes itself from the pipeline after a valid proof.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<PeerMessage> {

  private static final EventLog LOG = EventLog.of(HandshakeHandler.class);
  private static final long TIMEOUT_MS = 3_000;

  private final HandshakeAuthenticator authenticator;
  private final Role role;
  private final Handshake.Challenge ownChallenge;
  private final Consumer<Handshake.Challenge> onAuthenticated;
  private Handshake.Challenge peerChallenge;
  private Future<?> timeout;

  HandshakeHandler(
      HandshakeAuthenticator authenticator,
      Role role,
      Handshake.Challenge ownChallenge,
      Consumer<Handshake.Challenge> onAuthenticated) {
    super(PeerMessage.class);
    this.authenticator = authenticator;
    this.role = role;
    this.ownChallenge = ownChallenge;
    this.onAuthenticated = onAuthenticated;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    timeout = context.executor().schedule(() -> context.close(), TIMEOUT_MS, TimeUnit.MILLISECONDS);
    context.writeAndFlush(ownChallenge);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
    if (message instanceof Handshake.Challenge challenge && peerChallenge == null) {
      peerChallenge = challenge;
      context.writeAndFlush(authenticator.prove(role, ownChallenge, peerChallenge));
    } else if (message instanceof Handshake.Proof proof && peerChallenge != null) {
      verifyProof(context, proof);
    } else {
      reject(context, "unexpected message");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (timeout != null) {
      timeout.cancel(false);
    }
    context.fireChannelInactive();
  }

  private void verifyProof(ChannelHandlerContext context, Handshake.Proof proof) {
    Role peerRole = role == Role.DIALER ? Role.LISTENER : Role.DIALER;
    if (!authenticator.isValid(proof, peerRole, peerChallenge, ownChallenge)) {
      reject(context, "wrong proof");
      return;
    }
    timeout.cancel(false);
    context.pipeline().remove(this);
    onAuthenticated.accept(peerChallenge);
    PeerPipeline.admitAllFrames(context.pipeline());
  }

  private void reject(ChannelHandlerContext context, String reason) {
    LOG.warn("peer_refused")
        .with("address", context.channel().remoteAddress())
        .with("reason", reason)
        .write();
    context.close();
  }
}
