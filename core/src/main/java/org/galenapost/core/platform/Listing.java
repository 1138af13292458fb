package org.galenapost.core.platform;

import java.util.List;

/**
 * All objects of a kind. Objects may be newer than the revision if they changed during the listing.
 *
 * @param revision the revision to watch from
 * @param objects all objects of the kind
 */
public record Listing(long revision, List<VersionedObject> objects) {

  /** Copies the objects. */
  public Listing {
    objects = List.copyOf(objects);
  }
}
