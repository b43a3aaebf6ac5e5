package org.geraniumusher.tool;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;

import java.util.ArrayList;
import java.util.List;

/** A table of text with a header, aligned in columns. Not thread-safe. */
final class Table {
    private final ImmutableList<String> mHeader;
    private final List<List<String>> mRows = new ArrayList<>();

    private Table(List<String> header) {
        mHeader = ImmutableList.copyOf(header);
        mRows.add(mHeader);
    }

    /** Creates a table without rows below its header. */
    static Table withHeader(String... header) {
        return new Table(List.of(header));
    }

    /**
     * Adds a row; an empty cell is shown as a dash.
     *
     * @throws IllegalArgumentException if the number of cells differs from the header
     */
    Table addRow(Object... cells) {
        checkArgument(cells.length == mHeader.size(), "wrong number of cells: %s", cells.length);
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            String text = String.valueOf(cell);
            row.add(text.isEmpty() ? "-" : text);
        }
        mRows.add(row);
        return this;
    }

    /** Returns the header and the rows as lines, each ended by a line feed. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : mRows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(Strings.padEnd(row.get(i), columnWidth(i) + 2, ' '));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int columnWidth(int column) {
        return mRows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
