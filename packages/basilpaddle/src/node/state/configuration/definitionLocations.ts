/** A file and a place in it. */
export type SourceLocation = {
    readonly file: string;
    readonly place: string;
};

/** Source location of each part of a merged configuration. */
export class DefinitionLocations {
    private readonly locations = new Map<string, SourceLocation>();

    static create(): DefinitionLocations {
        return new DefinitionLocations();
    }

    /** Records where a part is defined. If it is defined already, keeps and returns the earlier location. */
    addLocation(path: readonly string[], location: SourceLocation): SourceLocation | undefined {
        const key = path.join("/");
        const earlier = this.locations.get(key);
        if (earlier === undefined) {
            this.locations.set(key, location);
        }
        return earlier;
    }

    /** Where the part is defined; for an unknown part, its path in the configuration. */
    locationOf(path: readonly string[]): SourceLocation {
        return this.locations.get(path.join("/")) ?? { file: ".", place: path.join(".") };
    }
}
