package org.geraniumusher.experiments;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.experiments.Deployment.ServiceSize;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Prints the table of docs/policy.md: the router's policy against the baselines, for both
 * deployments, five seeds, as median and spread.
 */
public final class PolicyTable {
    private static final int SEEDS = 5;
    private static final int THREADS = 4;

    private PolicyTable() {}

    /** Runs everything; a service name as argument limits the run to that service. */
    public static void main(String[] args) throws InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            for (Deployment deployment :
                    ImmutableList.of(Deployment.VATULELE, Deployment.BALTIC_WILLOW)) {
                for (ServiceSize size : deployment.services()) {
                    if (args.length == 0 || args[0].equals(size.name())) {
                        printService(deployment, size, threads);
                    }
                }
            }
        } finally {
            threads.shutdown();
        }
    }

    private static void printService(
            Deployment deployment, ServiceSize size, ExecutorService threads)
            throws InterruptedException, ExecutionException {
        Map<Policy, List<Future<Map<Scenario, RunResults>>>> runs = new EnumMap<>(Policy.class);
        for (Policy policy : policies(size)) {
            List<Future<Map<Scenario, RunResults>>> seeds = new ArrayList<>();
            for (int seed = 1; seed <= SEEDS; seed++) {
                int number = seed;
                seeds.add(threads.submit(() -> runAll(deployment, size, policy, number)));
            }
            runs.put(policy, seeds);
        }
        System.out.printf(
                "### %s, %s: %d servers, %s%n%n",
                deployment.name(),
                size.name(),
                size.servers(),
                size.keyed() ? "keyed" : "not keyed");
        printHeader(size);
        for (Measure measure : Measure.values()) {
            printRow(measure, size, runs);
        }
        System.out.println();
    }

    /** Returns the policies that differ: the choice of a server plays no part for keyed ones. */
    private static List<Policy> policies(ServiceSize size) {
        return size.keyed()
                ? ImmutableList.of(Policy.ROUTER, Policy.RANDOM)
                : ImmutableList.copyOf(Policy.values());
    }

    private static Map<Scenario, RunResults> runAll(
            Deployment deployment, ServiceSize size, Policy policy, long seed) {
        Map<Scenario, RunResults> results = new EnumMap<>(Scenario.class);
        for (Scenario scenario : Scenario.values()) {
            results.put(scenario, new ClusterRun(deployment, size, policy, scenario, seed).run());
        }
        return results;
    }

    private static void printHeader(ServiceSize size) {
        StringBuilder header = new StringBuilder("| measure | goal | met |");
        StringBuilder line = new StringBuilder("|---|---|---|");
        for (Policy policy : policies(size)) {
            boolean baseline = size.keyed() && policy != Policy.ROUTER;
            header.append(' ').append(baseline ? "every baseline" : policy.title()).append(" |");
            line.append("---|");
        }
        System.out.println(header);
        System.out.println(line);
    }

    private static void printRow(
            Measure measure,
            ServiceSize size,
            Map<Policy, List<Future<Map<Scenario, RunResults>>>> runs)
            throws InterruptedException, ExecutionException {
        StringBuilder row = new StringBuilder();
        for (List<Future<Map<Scenario, RunResults>>> seeds : runs.values()) {
            List<Double> figures = new ArrayList<>();
            for (Future<Map<Scenario, RunResults>> seed : seeds) {
                figures.add(measure.of(seed.get()));
            }
            Summary summary = Summary.of(figures);
            if (row.length() == 0) {
                row.append(start(measure, size, summary));
            }
            row.append(' ').append(format(measure.digits(), summary)).append(" |");
        }
        System.out.println(row);
    }

    private static String start(Measure measure, ServiceSize size, Summary router) {
        OptionalDouble goal = measure.goal(size);
        if (goal.isEmpty()) {
            return "| " + measure.title() + " | | |";
        }
        boolean median = router.median() <= goal.getAsDouble();
        boolean all = router.highest() <= goal.getAsDouble();
        String met = all ? "yes" : median ? "median only" : "no";
        return String.format(
                Locale.ROOT, "| %s | %s | %s |", measure.title(), goal.getAsDouble(), met);
    }

    private static String format(int digits, Summary summary) {
        String number = "%." + digits + "f";
        return String.format(
                Locale.ROOT,
                number + " (" + number + "–" + number + ")",
                summary.median(),
                summary.lowest(),
                summary.highest());
    }
}
