package io.jacinthquay.runtime.settings;

import java.util.Map;
import java.util.Optional;

/** The validated settings of a program. Instances are created by {@link SettingsParser}. */
public final class Settings {
  private final Map<Setting<?>, Object> values;
  private final Optional<String> textToPrint;

  Settings(Map<Setting<?>, Object> values, Optional<String> textToPrint) {
    this.values = Map.copyOf(values);
    this.textToPrint = textToPrint;
  }

  /**
   * Returns the value of a setting.
   *
   * @throws IllegalArgumentException if the program does not have the setting
   */
  @SuppressWarnings("unchecked")
  public <T> T value(Setting<T> setting) {
    Object value = values.get(setting);
    if (value == null) {
      throw new IllegalArgumentException("unknown setting: " + setting.name());
    }
    return (T) value;
  }

  /**
   * Returns the text to print instead of running the program: the help, the version or the result
   * of {@code --check}; empty if the program should run.
   */
  public Optional<String> textToPrint() {
    return textToPrint;
  }
}
