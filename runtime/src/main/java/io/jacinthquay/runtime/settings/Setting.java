package io.jacinthquay.runtime.settings;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * A setting of a program, with its flag, environment variable, type, unit, default and range.
 *
 * <pre>{@code
 * static final Setting<Integer> PORT =
 *     Setting.integer("port", "TCP port for callers", "port number", 0, 65535).orElse("8080");
 * }</pre>
 *
 * @param <T> the type of the value
 */
public final class Setting<T> {
  private static final String ENVIRONMENT_PREFIX = "JQ_";

  private final String name;
  private final String help;
  private final String unit;
  private final Function<String, T> reader;
  private final Optional<String> defaultText;

  private Setting(
      String name,
      String help,
      String unit,
      Function<String, T> reader,
      Optional<String> defaultText) {
    this.name = Objects.requireNonNull(name, "name");
    this.help = Objects.requireNonNull(help, "help");
    this.unit = Objects.requireNonNull(unit, "unit");
    this.reader = reader;
    this.defaultText = defaultText;
  }

  /** Returns a required setting with a non-empty text. */
  public static Setting<String> text(String name, String help) {
    return new Setting<>(name, help, "text", Setting::nonEmpty, Optional.empty());
  }

  /**
   * Returns a required setting of any type.
   *
   * @param reader parses the value; throws {@link IllegalArgumentException} with a message for the
   *     operator if the text is invalid
   */
  public static <T> Setting<T> of(
      String name, String help, String unit, Function<String, T> reader) {
    return new Setting<>(name, help, unit, reader, Optional.empty());
  }

  /** Returns a required integer setting with an inclusive range. */
  public static Setting<Integer> integer(String name, String help, String unit, int min, int max) {
    String range = unit + ", " + min + " to " + max;
    return new Setting<>(name, help, range, text -> readInteger(text, min, max), Optional.empty());
  }

  /** Returns a required setting with the path of a file or folder. */
  public static Setting<Path> path(String name, String help) {
    return new Setting<>(name, help, "path", text -> Path.of(nonEmpty(text)), Optional.empty());
  }

  /** Returns a required setting with a comma-separated list; an empty text is an empty list. */
  public static <T> Setting<List<T>> list(
      String name, String help, String unit, Function<String, T> itemReader) {
    return new Setting<>(
        name,
        help,
        "comma-separated " + unit,
        text -> readList(text, itemReader),
        Optional.empty());
  }

  /** Returns a copy of this setting with a default, as the text that an operator would enter. */
  public Setting<T> withDefault(String text) {
    return new Setting<>(name, help, unit, reader, Optional.of(text));
  }

  /**
   * Returns a copy of this setting that may be left out; an empty text counts as left out, since a
   * deployment that lacks the value passes one.
   */
  public Setting<Optional<T>> optional() {
    return new Setting<>(
        name,
        help,
        unit,
        text -> text.isEmpty() ? Optional.empty() : Optional.of(reader.apply(text)),
        Optional.of(""));
  }

  /** Returns the name; the flag is {@code --name}. */
  public String name() {
    return name;
  }

  /** Returns the name of the environment variable. */
  public String environmentName() {
    return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
  }

  boolean mayBeEmpty() {
    return defaultText.filter(String::isEmpty).isPresent();
  }

  Optional<String> defaultText() {
    return defaultText;
  }

  String description() {
    String defaultOrRequired =
        defaultText.map(text -> "default: " + display(text)).orElse("required");
    return help + " [" + unit + "; " + environmentName() + "; " + defaultOrRequired + "]";
  }

  /**
   * Parses a value.
   *
   * @throws IllegalArgumentException if the text is not a valid value
   */
  T read(String text) {
    return reader.apply(text);
  }

  private static String display(String text) {
    return text.isEmpty() ? "none" : text;
  }

  private static String nonEmpty(String text) {
    if (text.isEmpty()) {
      throw new IllegalArgumentException("must not be empty");
    }
    return text;
  }

  private static int readInteger(String text, int min, int max) {
    int value;
    try {
      value = Integer.parseInt(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("is not an integer: " + text, e);
    }
    if (value < min || value > max) {
      throw new IllegalArgumentException("is " + value + " and must be from " + min + " to " + max);
    }
    return value;
  }

  private static <T> List<T> readList(String text, Function<String, T> itemReader) {
    if (text.isEmpty()) {
      return List.of();
    }
    return Arrays.stream(text.split(",")).map(String::trim).map(itemReader).toList();
  }
}
