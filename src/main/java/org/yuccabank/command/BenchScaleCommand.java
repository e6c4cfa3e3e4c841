package org.yuccabank.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.yuccabank.local.scale.ScaleBench;
import org.yuccabank.local.scale.ScalePoint;

/** Measures the cost of the control role at several cluster sizes. Stateless and thread-safe. */
final class BenchScaleCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PROJECTED_AGENTS = 910;

    @Override
    public String name() {
        return "bench scale";
    }

    @Override
    public String summary() {
        return "Measures the cost of the control role at several cluster sizes.";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public Options options() {
        return CommandOptions.json()
                .addOption(
                        CommandOptions.value("sizes", "LIST", "Comma-separated numbers of agents."))
                .addOption(CommandOptions.value("seconds", "N", "Duration of each measurement."))
                .addOption(
                        CommandOptions.value(
                                "output", "DIRECTORY", "Directory of the table and plot."));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "yuccabank bench scale",
                "yuccabank bench scale --sizes 11,50,150,300 --seconds 10 --output"
                        + " docs/measurements");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream output, PrintStream errors)
            throws IOException {
        String sizes = line.getOptionValue("sizes", "11,50,150,300");
        String seconds = line.getOptionValue("seconds", "10");
        if (!sizes.matches("[1-9]\\d{0,3}(,[1-9]\\d{0,3})*") || !seconds.matches("[1-9]\\d{0,2}")) {
            errors.println("--sizes must be comma-separated numbers and --seconds a number");
            return ExitCode.USAGE;
        }
        List<ScalePoint> points = new ArrayList<>();
        for (int size : Arrays.stream(sizes.split(",", -1)).mapToInt(Integer::parseInt).toArray()) {
            Path directory = Files.createTempDirectory("yuccabank-scale");
            points.add(
                    ScaleBench.measure(
                            directory,
                            RoleConfigurations.placement(),
                            size,
                            Duration.ofSeconds(Long.parseLong(seconds))));
            errors.println("measured " + points.get(points.size() - 1));
        }
        if (line.hasOption("output")) {
            writeReport(Path.of(line.getOptionValue("output")), points);
        }
        output.println(line.hasOption(CommandOptions.JSON) ? toJson(points) : toCsv(points));
        return ExitCode.SUCCESS;
    }

    private static String toCsv(List<ScalePoint> points) {
        StringBuilder text = new StringBuilder();
        text.append("agents,tasks,leader_core_percent,follower_core_percent,");
        text.append("bytes_per_agent_second,in_force_ms,snapshot_bytes\n");
        for (ScalePoint point : points) {
            text.append(
                    String.format(
                            "%d,%d,%.2f,%.2f,%.0f,%.1f,%d%n",
                            point.agents(),
                            point.tasks(),
                            point.leaderCorePercent(),
                            point.followerCorePercent(),
                            point.bytesPerAgentSecond(),
                            point.inForceMillis(),
                            point.snapshotBytes()));
        }
        return text.toString();
    }

    private static ObjectNode toJson(List<ScalePoint> points) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode list = node.putArray("points");
        points.forEach(point -> list.add(MAPPER.valueToTree(point)));
        ObjectNode projections = node.putObject("at" + PROJECTED_AGENTS + "Agents");
        projections.set("leaderCorePercent", linearFit(points, ScalePoint::leaderCorePercent));
        projections.set("followerCorePercent", linearFit(points, ScalePoint::followerCorePercent));
        projections.set("bytesPerAgentSecond", linearFit(points, ScalePoint::bytesPerAgentSecond));
        projections.set("inForceMillis", linearFit(points, ScalePoint::inForceMillis));
        projections.set("snapshotBytes", linearFit(points, ScalePoint::snapshotBytes));
        return node;
    }

    private static ObjectNode linearFit(
            List<ScalePoint> points, ToDoubleFunction<ScalePoint> value) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(point.agents(), value.applyAsDouble(point)));
        return MAPPER.createObjectNode()
                .put("slope", regression.getSlope())
                .put("intercept", regression.getIntercept())
                .put("slopeStandardError", regression.getSlopeStdErr())
                .put("value", regression.predict(PROJECTED_AGENTS));
    }

    private static void writeReport(Path directory, List<ScalePoint> points) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve("scale.csv"), toCsv(points));
        Files.writeString(directory.resolve("scale.json"), toJson(points).toPrettyString() + "\n");
        XYChart chart =
                new XYChartBuilder()
                        .title("Cost of control")
                        .xAxisTitle("agents")
                        .yAxisTitle("percent of one core")
                        .build();
        double[] agents = points.stream().mapToDouble(ScalePoint::agents).toArray();
        chart.addSeries(
                "leader",
                agents,
                points.stream().mapToDouble(ScalePoint::leaderCorePercent).toArray());
        chart.addSeries(
                "follower",
                agents,
                points.stream().mapToDouble(ScalePoint::followerCorePercent).toArray());
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, directory.resolve("scale").toString(), VectorGraphicsFormat.SVG);
    }
}
