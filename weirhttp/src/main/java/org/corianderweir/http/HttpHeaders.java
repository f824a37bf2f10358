package org.corianderweir.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * Header fields in order. The names of fields are case-insensitive.
 *
 * @param fields the fields in the order of the message
 */
public record HttpHeaders(List<HttpHeader> fields) {
  /** No fields. */
  public static final HttpHeaders NONE = new HttpHeaders(List.of());

  /** Copies the list. */
  public HttpHeaders {
    fields = List.copyOf(fields);
  }

  /** Returns the value of the first field with a name. */
  public Optional<String> first(String name) {
    for (HttpHeader field : fields) {
      if (field.name().equalsIgnoreCase(name)) {
        return Optional.of(field.value());
      }
    }
    return Optional.empty();
  }

  /** Returns the values of all fields with a name. */
  public List<String> all(String name) {
    List<String> values = new ArrayList<>(1);
    for (HttpHeader field : fields) {
      if (field.name().equalsIgnoreCase(name)) {
        values.add(field.value());
      }
    }
    return values;
  }

  /** Returns how many fields have a name. */
  public int count(String name) {
    int count = 0;
    for (HttpHeader field : fields) {
      if (field.name().equalsIgnoreCase(name)) {
        count++;
      }
    }
    return count;
  }

  /** Returns these fields and one more. */
  public HttpHeaders with(String name, String value) {
    List<HttpHeader> extended = new ArrayList<>(fields);
    extended.add(new HttpHeader(name, value));
    return new HttpHeaders(extended);
  }

  /** Returns these fields without those that have one of the given names, in lower case. */
  public HttpHeaders without(Set<String> lowerCaseNames) {
    return new HttpHeaders(
        fields.stream()
            .filter(field -> !lowerCaseNames.contains(field.name().toLowerCase(Locale.ROOT)))
            .toList());
  }
}
