package io.jacinthquay.runtime.settings;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * One setting of a program: its flag, environment variable, type, unit, default and range.
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

  /** Returns a required text setting. */
  public static Setting<String> text(String name, String help) {
    return new Setting<>(name, help, "text", Setting::nonEmpty, Optional.empty());
  }

  /**
   * Returns a required setting of any type.
   *
   * @param reader turns the text into the value and throws {@link IllegalArgumentException} with a
   *     message for the operator if it cannot
   */
  public static <T> Setting<T> of(
      String name, String help, String unit, Function<String, T> reader) {
    return new Setting<>(name, help, unit, reader, Optional.empty());
  }

  /** Returns a required whole-number setting with its range, both ends included. */
  public static Setting<Integer> integer(String name, String help, String unit, int min, int max) {
    String range = unit + ", " + min + " to " + max;
    return new Setting<>(name, help, range, text -> readInteger(text, min, max), Optional.empty());
  }

  /** Returns a required setting that holds a file or folder. */
  public static Setting<Path> path(String name, String help) {
    return new Setting<>(name, help, "path", text -> Path.of(nonEmpty(text)), Optional.empty());
  }

  /** Returns a required comma-separated list; the empty text is the empty list. */
  public static <T> Setting<List<T>> list(
      String name, String help, String unit, Function<String, T> item) {
    return new Setting<>(
        name, help, "comma-separated " + unit, text -> readList(text, item), Optional.empty());
  }

  /** Returns this setting with a default, written as an operator would write it. */
  public Setting<T> orElse(String text) {
    return new Setting<>(name, help, unit, reader, Optional.of(text));
  }

  /** Returns the name, as in {@code --name}. */
  public String name() {
    return name;
  }

  /** Returns the name of the environment variable. */
  public String environmentName() {
    return ENVIRONMENT_PREFIX + name.replace('-', '_').toUpperCase(Locale.ROOT);
  }

  Optional<String> defaultText() {
    return defaultText;
  }

  String description() {
    String end = defaultText.map(text -> "default: " + shown(text)).orElse("required");
    return help + " [" + unit + "; " + environmentName() + "; " + end + "]";
  }

  /**
   * Reads a value.
   *
   * @throws IllegalArgumentException if the text is no valid value
   */
  T read(String text) {
    return reader.apply(text);
  }

  private static String shown(String text) {
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
      throw new IllegalArgumentException("is not a whole number: " + text, e);
    }
    if (value < min || value > max) {
      throw new IllegalArgumentException("is " + value + " and must be from " + min + " to " + max);
    }
    return value;
  }

  private static <T> List<T> readList(String text, Function<String, T> item) {
    if (text.isEmpty()) {
      return List.of();
    }
    return Arrays.stream(text.split(",")).map(String::trim).map(item).toList();
  }
}
