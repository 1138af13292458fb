package org.galenapost.daemon.peer;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import java.util.List;
import org.galenapost.core.action.ClaimMessage;
import org.galenapost.core.admission.DemandReport;
import org.galenapost.core.admission.DemandTotals;
import org.galenapost.core.configuration.ConfigurationMessage;
import org.galenapost.core.directory.DirectoryAnswer;
import org.galenapost.core.directory.DirectoryPut;
import org.galenapost.core.directory.DirectoryQuery;
import org.galenapost.core.dispatch.BrittleServerNotice;
import org.galenapost.core.dispatch.InstanceNotice;
import org.galenapost.core.dispatch.RetiredInstancesReport;
import org.galenapost.core.dispatch.RetryLoanMessage;
import org.galenapost.core.dispatch.SendPermitMessage;
import org.galenapost.core.dispatch.ServerLimitNotice;
import org.galenapost.core.dispatch.ServerSpeedReport;
import org.galenapost.core.dispatch.UseReport;
import org.galenapost.core.drain.DrainNotice;
import org.galenapost.core.handover.HandoverStatus;
import org.galenapost.core.membership.HostListNotice;
import org.galenapost.core.membership.MembershipMessage;
import org.galenapost.core.origin.StreamOriginMessage;
import org.galenapost.core.peer.PeerMessage;
import org.galenapost.core.prompt.HeldPromptsNotice;
import org.galenapost.core.quarantine.IsolationClaim;
import org.galenapost.core.quarantine.PartLossReport;
import org.galenapost.core.quarantine.PartProof;
import org.galenapost.core.quarantine.SuspicionQuery;
import org.galenapost.core.quarantine.SuspicionUpdate;
import org.galenapost.core.rollout.RolloutMessage;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Registers the types of messages between daemons with their names on the wire. */
final class PeerMessageTypes {

  private static final List<NamedType> TYPES =
      List.of(
          new NamedType(Handshake.Challenge.class, "hello"),
          new NamedType(Handshake.Proof.class, "hello-proof"),
          new NamedType(ConfigurationMessage.Push.class, "configuration-push"),
          new NamedType(ConfigurationMessage.Pull.class, "configuration-pull"),
          new NamedType(ConfigurationMessage.Update.class, "configuration-update"),
          new NamedType(ConfigurationMessage.WatchReport.class, "watch-report"),
          new NamedType(ConfigurationMessage.VersionNotice.class, "version-notice"),
          new NamedType(ConfigurationMessage.RevisionsQuery.class, "revisions-query"),
          new NamedType(ConfigurationMessage.RevisionsReport.class, "revisions-report"),
          new NamedType(ConfigurationMessage.InForceQuery.class, "in-force-query"),
          new NamedType(ConfigurationMessage.InForceReport.class, "in-force-report"),
          new NamedType(ClaimMessage.Submit.class, "claim-submit"),
          new NamedType(ClaimMessage.Result.class, "claim-result"),
          new NamedType(DrainNotice.class, "drain-notice"),
          new NamedType(DirectoryPut.class, "directory-put"),
          new NamedType(DirectoryQuery.class, "directory-query"),
          new NamedType(DirectoryAnswer.class, "directory-answer"),
          new NamedType(SuspicionQuery.class, "suspicion-query"),
          new NamedType(SuspicionUpdate.class, "suspicion-update"),
          new NamedType(IsolationClaim.class, "isolation-claim"),
          new NamedType(PartLossReport.class, "part-loss-report"),
          new NamedType(PartProof.class, "part-proof"),
          new NamedType(DemandReport.class, "demand-report"),
          new NamedType(DemandTotals.class, "demand-totals"),
          new NamedType(MembershipMessage.Heartbeat.class, "heartbeat"),
          new NamedType(MembershipMessage.HeartbeatAck.class, "heartbeat-ack"),
          new NamedType(MembershipMessage.ProbeRequest.class, "probe-request"),
          new NamedType(MembershipMessage.ProbeAck.class, "probe-ack"),
          new NamedType(MembershipMessage.Table.class, "member-table"),
          new NamedType(HostListNotice.class, "host-list-notice"),
          new NamedType(UseReport.class, "use-report"),
          new NamedType(ServerSpeedReport.class, "server-speed-report"),
          new NamedType(InstanceNotice.class, "instance-notice"),
          new NamedType(RetiredInstancesReport.class, "retired-instances"),
          new NamedType(ServerLimitNotice.class, "server-limit-notice"),
          new NamedType(BrittleServerNotice.class, "brittle-server-notice"),
          new NamedType(SendPermitMessage.Request.class, "send-permit-request"),
          new NamedType(SendPermitMessage.Reply.class, "send-permit-reply"),
          new NamedType(RetryLoanMessage.Request.class, "retry-loan-request"),
          new NamedType(RetryLoanMessage.Reply.class, "retry-loan-reply"),
          new NamedType(StreamOriginMessage.Announcement.class, "stream-origin"),
          new NamedType(StreamOriginMessage.Query.class, "stream-origin-query"),
          new NamedType(StreamOriginMessage.Reply.class, "stream-origin-reply"),
          new NamedType(HandoverStatus.class, "handover-status"),
          new NamedType(RolloutMessage.Orders.class, "rollout-orders"),
          new NamedType(RolloutMessage.Report.class, "rollout-report"),
          new NamedType(RolloutMessage.Lease.class, "rollout-lease"),
          new NamedType(HeldPromptsNotice.class, "held-prompts-notice"));

  private PeerMessageTypes() {}

  /** Returns a mapper that converts between messages and MessagePack. */
  static ObjectMapper newMapper() {
    ObjectMapper mapper = new MessagePackMapper();
    mapper.registerModule(new Jdk8Module());
    mapper.registerModule(new JavaTimeModule());
    mapper.setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);
    mapper.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
    mapper.addMixIn(PeerMessage.class, TypeField.class);
    TYPES.forEach(mapper::registerSubtypes);
    return mapper;
  }

  /** Makes Jackson write the wire name of a message into the property {@code type}. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  private interface TypeField {}
}
