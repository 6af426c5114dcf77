package io.jacinthquay.runtime.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/**
 * Parses settings from flags and environment variables and reports all errors at once.
 *
 * <p>A flag takes precedence over its environment variable, which takes precedence over the
 * default. Every program also accepts {@code --help}, {@code --version} and {@code --check}.
 *
 * <pre>{@code
 * SettingsParser parser =
 *     SettingsParser.of("jq-router", "Serves callers.", List.of(PORT, DOMAIN));
 * Either<List<String>, Settings> settings = parser.parse(args, System.getenv());
 * }</pre>
 */
public final class SettingsParser {
  private static final String VERSION = "0.1.0";

  private final String program;
  private final List<Setting<?>> settings;
  private final ArgumentParser parser;

  private SettingsParser(String program, String description, List<Setting<?>> settings) {
    this.program = program;
    this.settings = List.copyOf(settings);
    this.parser =
        ArgumentParsers.newFor(program)
            .addHelp(false)
            .terminalWidthDetection(false)
            .build()
            .description(description);
    addArguments();
  }

  /**
   * Creates a parser.
   *
   * @param program the name of the program
   * @param description the one-sentence description in the help
   * @param settings the settings of the program
   */
  public static SettingsParser of(String program, String description, List<Setting<?>> settings) {
    return new SettingsParser(program, description, settings);
  }

  private void addArguments() {
    for (Setting<?> setting : settings) {
      Argument argument =
          parser.addArgument("--" + setting.name()).help(setting.description().replace("%", "%%"));
      if (setting.mayBeEmpty()) {
        // A deployment that lacks the value may drop the empty word after the flag.
        argument.nargs("?").setConst("");
      }
    }
    addSwitch("help", "print this text and exit");
    addSwitch("version", "print the version and exit");
    addSwitch("check", "check the settings and exit");
  }

  private void addSwitch(String name, String help) {
    parser.addArgument("--" + name).action(Arguments.storeTrue()).help(help);
  }

  /**
   * Parses the settings.
   *
   * @param args the command line
   * @param environment the environment variables
   * @return the settings, or all errors
   */
  public Either<List<String>, Settings> parse(String[] args, Map<String, String> environment) {
    Map<String, Object> flags = new HashMap<>();
    List<String> unknown = new ArrayList<>();
    try {
      parser.parseKnownArgs(args, unknown, flags);
    } catch (ArgumentParserException e) {
      return Either.left(List.of(e.getMessage()));
    }
    if (isSet(flags, "help")) {
      return Either.right(textOnly(parser.formatHelp()));
    }
    if (isSet(flags, "version")) {
      return Either.right(textOnly(program + " " + VERSION));
    }
    return read(flags, unknown, environment);
  }

  private Either<List<String>, Settings> read(
      Map<String, Object> flags, List<String> unknown, Map<String, String> environment) {
    List<String> errors = new ArrayList<>();
    unknown.forEach(argument -> errors.add("unknown argument: " + argument));
    Map<Setting<?>, Object> values = new HashMap<>();
    for (Setting<?> setting : settings) {
      readSetting(setting, flags, environment, values, errors);
    }
    if (!errors.isEmpty()) {
      return Either.left(errors);
    }
    Optional<String> textToPrint =
        isSet(flags, "check") ? Optional.of("the settings are valid") : Optional.empty();
    return Either.right(new Settings(values, textToPrint));
  }

  private static void readSetting(
      Setting<?> setting,
      Map<String, Object> flags,
      Map<String, String> environment,
      Map<Setting<?>, Object> values,
      List<String> errors) {
    Optional<String> text = text(setting, flags, environment);
    if (text.isEmpty()) {
      errors.add("--" + setting.name() + " (" + setting.environmentName() + ") is missing");
      return;
    }
    try {
      values.put(setting, setting.read(text.get()));
    } catch (IllegalArgumentException e) {
      errors.add("--" + setting.name() + " (" + setting.environmentName() + "): " + e.getMessage());
    }
  }

  private static Optional<String> text(
      Setting<?> setting, Map<String, Object> flags, Map<String, String> environment) {
    Object flag = flags.get(setting.name().replace('-', '_'));
    if (flag != null) {
      return Optional.of(flag.toString());
    }
    return Optional.ofNullable(environment.get(setting.environmentName())).or(setting::defaultText);
  }

  private static boolean isSet(Map<String, Object> flags, String name) {
    return Boolean.TRUE.equals(flags.get(name));
  }

  private static Settings textOnly(String text) {
    return new Settings(Map.of(), Optional.of(text));
  }
}
