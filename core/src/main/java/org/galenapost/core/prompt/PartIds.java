package org.galenapost.core.prompt;

import java.util.AbstractCollection;
import java.util.Collection;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The ids of parts of a prompt, in their order. They are held as one text, since a list of short
 * texts takes many times the memory of their characters. An id is made when it is iterated over.
 */
public final class PartIds extends AbstractCollection<String> {

  private static final char SEPARATOR = ',';
  private static final PartIds NONE = new PartIds("");

  private final String joinedIds;
  private final int count;

  private PartIds(String joinedIds) {
    this.joinedIds = joinedIds;
    this.count =
        joinedIds.isEmpty()
            ? 0
            : 1 + (int) joinedIds.chars().filter(character -> character == SEPARATOR).count();
  }

  /** Returns no ids. */
  public static PartIds none() {
    return NONE;
  }

  /**
   * Returns the given ids.
   *
   * @throws IllegalArgumentException if an id is empty or holds a comma
   */
  public static PartIds of(Stream<String> ids) {
    return new PartIds(
        ids.peek(PartIds::check).collect(Collectors.joining(String.valueOf(SEPARATOR))));
  }

  /** Returns the given ids, which are not copied if they are of this class. */
  public static PartIds copyOf(Collection<String> ids) {
    return ids instanceof PartIds partIds ? partIds : of(ids.stream());
  }

  private static void check(String id) {
    if (id.isEmpty() || id.indexOf(SEPARATOR) >= 0) {
      throw new IllegalArgumentException("expected an id of a part without commas, found: " + id);
    }
  }

  @Override
  public int size() {
    return count;
  }

  @Override
  public Iterator<String> iterator() {
    return new IdIterator();
  }

  /** Cuts one id after the other out of the text. */
  private final class IdIterator implements Iterator<String> {

    private int start;

    @Override
    public boolean hasNext() {
      return start < joinedIds.length();
    }

    @Override
    public String next() {
      if (!hasNext()) {
        throw new NoSuchElementException("all " + count + " ids were read");
      }
      int separator = joinedIds.indexOf(SEPARATOR, start);
      int end = separator < 0 ? joinedIds.length() : separator;
      String id = joinedIds.substring(start, end);
      start = end + 1;
      return id;
    }
  }
}
