package io.jacinthquay.runtime.settings;

import java.util.Map;
import java.util.Optional;

/** The checked settings of one program run; made by {@link SettingsParser}. */
public final class Settings {
  private final Map<Setting<?>, Object> values;
  private final Optional<String> answer;

  Settings(Map<Setting<?>, Object> values, Optional<String> answer) {
    this.values = Map.copyOf(values);
    this.answer = answer;
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
      throw new IllegalArgumentException("no such setting: " + setting.name());
    }
    return (T) value;
  }

  /**
   * Returns what to print instead of running: the help, the version or the result of {@code
   * --check}.
   */
  public Optional<String> answer() {
    return answer;
  }
}
