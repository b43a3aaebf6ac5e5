package org.geraniumusher.model;

import java.util.Optional;

/** Lists the kinds of configuration objects with their names in the object API. */
public enum Kind {
    /** A data centre. */
    DATA_CENTRE("data-centre", DataCentre.class),
    /** A backend server. */
    BACKEND_SERVER("backend-server", BackendServer.class),
    /** A service. */
    SERVICE("service", Service.class),
    /** A route. */
    ROUTE("route", Route.class);

    private final String mPath;
    private final Class<? extends ConfigObject> mType;

    Kind(String path, Class<? extends ConfigObject> type) {
        mPath = path;
        mType = type;
    }

    /** Returns the name used in paths of the object API and on the command line. */
    public String path() {
        return mPath;
    }

    /** Returns the record that holds objects of this kind. */
    public Class<? extends ConfigObject> type() {
        return mType;
    }

    /** Returns the kind with this path, or empty for a kind that is not configuration. */
    public static Optional<Kind> ofPath(String path) {
        for (Kind kind : values()) {
            if (kind.mPath.equals(path)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
