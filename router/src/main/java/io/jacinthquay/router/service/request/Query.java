package io.jacinthquay.router.service.request;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The query of a request target, with the parameters' original escapes preserved. */
final class Query {
  private record Parameter(String name, String raw, String value) {}

  private final List<Parameter> parameters;

  private Query(List<Parameter> parameters) {
    this.parameters = parameters;
  }

  static Query of(String text) {
    List<Parameter> parameters = new ArrayList<>();
    for (String raw : text.split("&")) {
      if (!raw.isEmpty()) {
        int equals = raw.indexOf('=');
        String name = equals < 0 ? raw : raw.substring(0, equals);
        String value = equals < 0 ? "" : raw.substring(equals + 1);
        parameters.add(new Parameter(decode(name).toLowerCase(Locale.ROOT), raw, decode(value)));
      }
    }
    return new Query(parameters);
  }

  private static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      return text;
    }
  }

  List<String> values(Set<String> names) {
    return parameters.stream().filter(p -> names.contains(p.name())).map(Parameter::value).toList();
  }

  /** Returns the query without the parameters of the given names. */
  String without(Set<String> names) {
    List<String> kept =
        parameters.stream().filter(p -> !names.contains(p.name())).map(Parameter::raw).toList();
    return String.join("&", kept);
  }
}
