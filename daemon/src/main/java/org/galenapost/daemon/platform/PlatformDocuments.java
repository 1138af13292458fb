package org.galenapost.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.galenapost.core.platform.Changes;
import org.galenapost.core.platform.Host;
import org.galenapost.core.platform.HostList;
import org.galenapost.core.platform.HostRole;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.VersionedObject;

/** The JSON documents of the platform's object API. */
final class PlatformDocuments {

  private static final String LEAVING = "leaving";

  private PlatformDocuments() {}

  /** One object. All fields are absent if the platform has no such object. */
  record ObjectDocument(String kind, String name, long version, JsonNode value) {

    Optional<VersionedObject> toObject() {
      return kind == null || name == null || value == null
          ? Optional.empty()
          : Optional.of(new VersionedObject(new ObjectKey(kind, name), version, value.toString()));
    }
  }

  /** All objects of a kind at a revision. */
  record ListDocument(long revision, List<ObjectDocument> items) {

    Listing toListing() {
      return new Listing(revision, toObjects(items));
    }
  }

  /** The changes of a kind since a revision. */
  record ChangesDocument(
      long revision, List<ObjectDocument> updated, List<String> deleted, boolean reset) {

    Changes toChanges(String kind) {
      List<ObjectKey> deletedKeys =
          orEmpty(deleted).stream().map(name -> new ObjectKey(kind, name)).toList();
      return new Changes(revision, toObjects(updated), deletedKeys, reset);
    }
  }

  /** The response to a deletion. */
  record DeletionDocument(long version) {}

  /** The host list at a revision. */
  record HostsDocument(long revision, List<HostDocument> hosts) {

    HostList toHostList() {
      return new HostList(
          revision, orEmpty(hosts).stream().flatMap(host -> host.toHost().stream()).toList());
    }
  }

  /** One host of the host list. */
  record HostDocument(
      String ip, int port, String role, String id, String dataCentre, String state) {

    Optional<Host> toHost() {
      if (ip == null || id == null || dataCentre == null) {
        return Optional.empty();
      }
      return roleOf(role)
          .map(hostRole -> new Host(id, ip, port, hostRole, dataCentre, LEAVING.equals(state)));
    }

    private static Optional<HostRole> roleOf(String name) {
      for (HostRole role : HostRole.values()) {
        if (role.name().toLowerCase(Locale.ROOT).equals(name)) {
          return Optional.of(role);
        }
      }
      return Optional.empty();
    }
  }

  private static List<VersionedObject> toObjects(List<ObjectDocument> documents) {
    return orEmpty(documents).stream().flatMap(document -> document.toObject().stream()).toList();
  }

  private static <T> List<T> orEmpty(List<T> list) {
    return list == null ? List.of() : list;
  }
}
