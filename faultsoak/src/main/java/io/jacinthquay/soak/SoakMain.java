package io.jacinthquay.soak;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.settings.Setting;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.settings.SettingsParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Runs the fault soak from the command line. */
public final class SoakMain {
  /** Domains are named by a letter each. */
  private static final int MAX_DOMAINS = 26;

  private static final Setting<Long> SEED =
      Setting.of("seed", "seed of the first run", "number", Long::parseLong);
  private static final Setting<Integer> SEEDS =
      Setting.integer("seeds", "runs, each with the next seed", "runs", 1, 10_000).withDefault("1");
  private static final Setting<Integer> MINUTES =
      Setting.integer(
              "minutes", "keep starting runs with further seeds for this long", "minutes", 0, 1_440)
          .withDefault("0");
  private static final Setting<Integer> SECONDS =
      Setting.integer("seconds", "time under load of each run", "seconds", 5, 86_400)
          .withDefault("40");
  private static final Setting<Integer> ROUTERS =
      Setting.integer("routers", "router processes", "processes", 1, 200).withDefault("4");
  private static final Setting<Integer> PROCESSES =
      Setting.integer(
              "processes", "all processes, in place of --routers; 0 for none", "processes", 0, 300)
          .withDefault("0");
  private static final Setting<Integer> CONTROLS =
      Setting.integer("controls", "control VM processes", "processes", 1, 9).withDefault("3");
  private static final Setting<Integer> DOMAINS =
      Setting.integer(
              "domains", "failure domains of routers and control VMs", "domains", 1, MAX_DOMAINS)
          .withDefault(Integer.toString(Deployment.DOMAINS));
  private static final Setting<Integer> UPSTREAMS =
      Setting.integer("upstreams", "stand-in upstreams", "upstreams", Documents.MIN_UPSTREAMS, 200)
          .withDefault("6");
  private static final Setting<Integer> CALLERS =
      Setting.integer("callers", "callers at a time", "callers", 1, 1_000).withDefault("24");
  private static final Setting<Integer> REJECTED_PERCENT =
      Setting.integer(
              "rejected-percent", "requests that upstreams reject without a run", "%", 0, 100)
          .withDefault(Integer.toString(SoakPlan.DEFAULT_REJECTED_PERCENT));
  private static final Setting<Integer> MAX_FAULT_SECONDS =
      Setting.integer("max-fault-seconds", "longest duration of a fault", "seconds", 1, 60)
          .withDefault(Long.toString(SoakPlan.DEFAULT_MAX_FAULT.toSeconds()));
  private static final Setting<Set<FaultKind>> FAULTS =
      Setting.of(
              "faults", "kinds of fault: all, none or a list", "names", SoakMain::parseFaultKinds)
          .withDefault("all");
  private static final Setting<Path> ROOT =
      Setting.path("root", "folder with the deploy file and the built programs").withDefault(".");
  private static final Setting<Path> LOGS =
      Setting.path("logs", "folder for the processes' output").withDefault("target/soak-logs");

  private static final SettingsParser PARSER =
      SettingsParser.of(
          "soak",
          "Runs the platform's programs under random faults and judges what callers and upstreams"
              + " see.",
          List.of(
              SEED,
              SEEDS,
              MINUTES,
              SECONDS,
              ROUTERS,
              PROCESSES,
              CONTROLS,
              DOMAINS,
              UPSTREAMS,
              CALLERS,
              REJECTED_PERCENT,
              MAX_FAULT_SECONDS,
              FAULTS,
              ROOT,
              LOGS));

  private SoakMain() {}

  /** Runs the soak; exits with 0 if all guarantees held, 1 if not and 2 for invalid flags. */
  public static void main(String[] args) throws InterruptedException {
    Either<List<String>, Settings> parsed = PARSER.parse(args, System.getenv());
    if (parsed.isLeft()) {
      parsed
          .getLeft()
          .forEach(e -> System.err.println(ResultCode.SETTINGS_INVALID.number() + " " + e));
      System.exit(ExitCode.SETTINGS_INVALID.number());
    }
    Settings settings = parsed.get();
    if (settings.textToPrint().isPresent()) {
      System.out.println(settings.textToPrint().get());
      return;
    }
    int routers = routers(settings);
    int maxRouters = MachineLimits.maxPrograms() - settings.value(CONTROLS);
    if (routers < 1 || routers > maxRouters) {
      System.err.println(
          ResultCode.SETTINGS_INVALID.number()
              + " routers: would be "
              + routers
              + "; this machine can run 1 to "
              + maxRouters);
      System.exit(ExitCode.SETTINGS_INVALID.number());
    }
    System.exit((run(settings) ? ExitCode.OK : ExitCode.FAILURE).number());
  }

  private static int routers(Settings settings) {
    int processes = settings.value(PROCESSES);
    return processes == 0 ? settings.value(ROUTERS) : processes - settings.value(CONTROLS);
  }

  private static boolean run(Settings settings) throws InterruptedException {
    boolean allHeld = true;
    long end = System.nanoTime() + TimeUnit.MINUTES.toNanos(settings.value(MINUTES));
    for (int i = 0; i < settings.value(SEEDS) || System.nanoTime() - end < 0; i++) {
      SoakPlan plan =
          new SoakPlan(
              settings.value(SEED) + i,
              Duration.ofSeconds(settings.value(SECONDS)),
              routers(settings),
              settings.value(CONTROLS),
              settings.value(DOMAINS),
              settings.value(UPSTREAMS),
              settings.value(CALLERS),
              settings.value(REJECTED_PERCENT),
              Duration.ofSeconds(settings.value(MAX_FAULT_SECONDS)),
              settings.value(FAULTS));
      Path root = settings.value(ROOT).toAbsolutePath().normalize();
      Path folder = root.resolve(settings.value(LOGS)).resolve("seed-" + plan.seed());
      try {
        SoakReport report = new SoakRun(root, folder, plan, SoakMain::printProgress).run();
        System.out.println(report.text());
        allHeld &= report.violations().isEmpty();
      } catch (IOException e) {
        System.err.println("seed " + plan.seed() + " did not run: " + e.getMessage());
        allHeld = false;
      }
    }
    return allHeld;
  }

  /** Prints a progress line that the next one overwrites, if there is a console. */
  private static void printProgress(String text) {
    if (System.console() != null) {
      System.err.print("\r" + text + " ".repeat(10) + "\r");
    }
  }

  private static Set<FaultKind> parseFaultKinds(String text) {
    Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
    for (String name : text.split(",")) {
      switch (name.trim()) {
        case "all" -> kinds.addAll(FaultKind.all());
        case "none" -> {
          // Load without faults.
        }
        default ->
            kinds.add(FaultKind.valueOf(name.trim().toUpperCase(Locale.ROOT).replace('-', '_')));
      }
    }
    return kinds;
  }
}
