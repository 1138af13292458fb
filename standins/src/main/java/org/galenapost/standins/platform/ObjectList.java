package org.galenapost.standins.platform;

import java.util.List;

/**
 * All objects of a kind.
 *
 * @param revision the revision of the last write to any kind
 * @param items the objects, sorted by name
 */
public record ObjectList(long revision, List<StoredObject> items) {}
